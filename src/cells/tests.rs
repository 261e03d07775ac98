use super::*;

fn parse_peer(text: &str) -> Result<PeerCell, CellError> {
    text.parse()
}

#[test]
fn valid_cells_are_parsed() {
    let peer = parse_peer("north=10.0.0.1:8081,10.0.0.2:8081").unwrap();
    assert_eq!((peer.name.as_str(), peer.addrs.len()), ("north", 2));
    let cells = CellTopology::new("south", &[peer]).unwrap();
    assert_eq!(cells.names(), ["north", "south"]);
}

#[test]
fn invalid_cells_are_rejected() {
    for malformed in ["north", "north=", "north=10.0.0.1", "north=a:1"] {
        assert_eq!(
            parse_peer(malformed),
            Err(CellError::Malformed(malformed.into()))
        );
    }
    let north = parse_peer("north=10.0.0.1:1").unwrap();
    let duplicate = CellTopology::new("south", &[north.clone(), north.clone()]);
    assert_eq!(duplicate, Err(CellError::Duplicate("north".into())));
    assert_eq!(
        CellTopology::new("north", &[north]),
        Err(CellError::Duplicate("north".into()))
    );
    assert_eq!(
        CellTopology::new("a b", &[]),
        Err(CellError::InvalidName("a b".into()))
    );
    let too_many: Vec<PeerCell> = (0..MAX_CELLS)
        .map(|number| parse_peer(&format!("c{number}=10.0.0.1:1")).unwrap())
        .collect();
    assert_eq!(
        CellTopology::new("own", &too_many),
        Err(CellError::TooManyCells(MAX_CELLS + 1))
    );
}
