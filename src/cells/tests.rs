use super::*;

fn peer(text: &str) -> Result<PeerCell, CellError> {
    text.parse()
}

#[test]
fn cells_are_read_from_what_operators_write() {
    let peer = peer("north=10.0.0.1:8081,10.0.0.2:8081").unwrap();
    assert_eq!((peer.name.as_str(), peer.addrs.len()), ("north", 2));
    let cells = CellTopology::new("south", &[peer]).unwrap();
    assert_eq!(cells.names(), ["north", "south"]);
}

#[test]
fn mistakes_are_named() {
    for wrong in ["north", "north=", "north=10.0.0.1", "north=a:1"] {
        assert_eq!(peer(wrong), Err(CellError::Form(wrong.into())));
    }
    let north = peer("north=10.0.0.1:1").unwrap();
    let twice = CellTopology::new("south", &[north.clone(), north.clone()]);
    assert_eq!(twice, Err(CellError::Twice("north".into())));
    assert_eq!(
        CellTopology::new("north", &[north]),
        Err(CellError::Twice("north".into()))
    );
    assert_eq!(
        CellTopology::new("a b", &[]),
        Err(CellError::Name("a b".into()))
    );
    let many: Vec<PeerCell> = (0..MAX_CELLS)
        .map(|number| peer(&format!("c{number}=10.0.0.1:1")).unwrap())
        .collect();
    assert_eq!(
        CellTopology::new("own", &many),
        Err(CellError::TooMany(MAX_CELLS + 1))
    );
}
