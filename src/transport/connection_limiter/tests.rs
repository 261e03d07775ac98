use super::*;

#[tokio::test(start_paused = true)]
async fn clients_are_asked_to_come_back_before_anybody_is_refused() {
    let door = ConnectionLimiter::new(16, Arc::new(Metrics::default()));
    let mut inside = Vec::new();
    for _ in 0..14 {
        inside.push(door.try_acquire().expect("a place"));
        assert!(!door.should_shed(ShedConnection::AfterReport));
    }
    inside.push(door.try_acquire().expect("a place"));
    assert!(
        door.should_shed(ShedConnection::AfterReport),
        "one of 16 is free"
    );
    assert!(door.should_shed(ShedConnection::AfterPoll));
    inside.push(door.try_acquire().expect("a place"));
    assert!(door.try_acquire().is_none());
    inside.truncate(10);
    assert!(!door.should_shed(ShedConnection::AfterPoll));
    assert!(door.try_acquire().is_some());
    let text = door.metrics.render();
    for what in ["refused", "reports", "polls"] {
        let line = format!("dalelb_shed_total{{what=\"{what}\"}} 1");
        assert!(text.contains(&line), "{text}");
    }
}

#[tokio::test(start_paused = true)]
async fn only_the_last_seconds_count() {
    let mut lately = RecentCallCounter::new();
    for second in 0..8 {
        for call in 1..=10 {
            let before = 10 * second.min(RecentCallCounter::WINDOW_S - 1);
            assert_eq!(lately.record_call(), before + call, "second {second}");
        }
        tokio::time::advance(Duration::from_secs(1)).await;
    }
    tokio::time::advance(Duration::from_secs(100)).await;
    assert_eq!(lately.record_call(), 1);
}
