use super::*;

const LOG: &str = r#"
  10.0 n1 INFO dalelb::coordination::user_requests: accepted job=j-000001 kind=Array class="thumbs" team="lab" tasks=4 cpus=0.5 gpus=0.0 estimate_s=10.0 awaits=[] due_s=9.0
  11.0 n1 INFO dalelb::coordination::user_requests: accepted job=j-000002 kind=Array class="thumbs" team="lab" tasks=4 cpus=0.5 gpus=0.0 estimate_s=10.0 awaits=[j-000001, j-000003]
  12.0 n2 INFO dalelb::coordination::user_requests: accepted job=j-000003 kind=Service class="front" team="web" tasks=2 cpus=4.0 gpus=0.0 estimate_s=0.0 awaits=[]
  13.0 n1 INFO dalelb::coordination::admission: served team="lab" class="thumbs" came=3 sent_away=2 given_up=0 started=5 done=4 gave_way=1
  14.0 n1 INFO dalelb::coordination::leader_log: done job=j-000001
  20.0 n2 INFO dalelb::coordination::admission: served team="lab" class="thumbs" came=3 sent_away=2 given_up=2 started=1 done=0 gave_way=0
  21.0 n2 INFO dalelb::coordination::admission: served team="web" class="front" came=1 sent_away=0 given_up=0 started=1 done=0 gave_way=0
2026-12-01T00:00:00Z INFO dalelb::daemon: starting
garbage
"#;

#[test]
fn counters_accumulate_across_leader_changes() {
    let mut summary = LogSummary::default();
    summary.parse(LOG);
    let classes = summary.classes();
    let thumbs = &classes[&("lab".to_string(), "thumbs".to_string())];
    assert_eq!(
        (thumbs.started(), thumbs.done(), thumbs.preempted()),
        (6, 4, 1)
    );
    assert_eq!((thumbs.jobs, thumbs.tasks, thumbs.submitted()), (2, 8, 3));
    // Half of the tasks were done, and half of the users were accepted while the others gave up.
    assert!(
        (thumbs.served_share() - 0.25).abs() < 1e-9,
        "{}",
        thumbs.served_share()
    );
    let front = &classes[&("web".to_string(), "front".to_string())];
    assert!((front.served_share() - 0.5).abs() < 1e-9);
    assert!(summary.latest_line_at > 1e9);
}

/// One of the two replicas was started twice, and the other one never ran.
#[test]
fn restarted_replica_is_counted_once() {
    let mut summary = LogSummary::default();
    summary.parse(LOG);
    summary.parse(
        "60.0 n1 DEBUG dalelb::coordination::fleet: runs task=j-000003/1 attempt=1\n\
         70.0 n1 DEBUG dalelb::coordination::fleet: runs task=j-000003/1 attempt=2\n",
    );
    let front = &summary.classes()[&("web".to_string(), "front".to_string())];
    assert!(
        (front.served_share() - 0.5).abs() < 1e-9,
        "{}",
        front.served_share()
    );
}
