use super::*;

fn settings_json(limit: &str) -> String {
    format!(
        r#"{{"label":"n0","domain":"a","listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
        "services":{{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"}},
        "settings":{{"zones":["a"],"teams":[{{"name":"red","cpus_max":{limit}}}],
        "workers":{{"report_s":2.5,"lease_s":14.0,"cancel_s":34.0}},
        "state":{{"rps":100.0,"write_rps":50.0,"value_kb":16.0,"txn_ops":24}},
        "cloud":{{"rps":3.0}}}}}}"#
    )
}

#[tokio::test]
async fn changed_settings_are_sent_once_and_invalid_settings_never() {
    let name = format!("dalelb-follow-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, settings_json("1.0")).unwrap();
    let (sender, mut commands) = mpsc::unbounded_channel();
    tokio::spawn(watch_settings_file(path.clone(), sender));
    tokio::time::sleep(2 * POLL_INTERVAL).await;
    assert!(commands.try_recv().is_err(), "the unchanged file was sent");
    for invalid_limit in ["-100.0", "\"many\""] {
        std::fs::write(&path, settings_json(invalid_limit)).unwrap();
        tokio::time::sleep(3 * POLL_INTERVAL).await;
        assert!(
            commands.try_recv().is_err(),
            "invalid limit {invalid_limit} was sent"
        );
    }
    std::fs::write(&path, settings_json("250.0")).unwrap();
    let Some(Command::TeamsChanged(teams)) = commands.recv().await else {
        panic!("the teams were not sent");
    };
    assert_eq!(teams[0].cpus_max, 250.0);
    tokio::time::sleep(3 * POLL_INTERVAL).await;
    assert!(commands.try_recv().is_err(), "the teams were sent twice");
    std::fs::remove_file(path).unwrap();
}
