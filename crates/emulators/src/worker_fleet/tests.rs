use super::*;

#[test]
fn worker_address_maps_back_to_its_index() {
    for index in [0, 1, 249, 250, 4142, 28_999] {
        let ip = worker_ip(7, index);
        assert!(ip.is_loopback() && ip.octets()[3] > 0);
        assert_eq!(worker_index(ip), Some(index));
    }
    assert_eq!(worker_index(Ipv4Addr::new(127, 0, 0, 0)), None);
}
