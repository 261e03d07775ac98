use super::*;

#[tokio::test(start_paused = true)]
async fn clients_are_asked_to_reconnect_before_any_is_refused() {
    let limiter = ConnectionLimiter::new(16, Arc::new(Metrics::default()));
    let mut permits = Vec::new();
    for _ in 0..14 {
        permits.push(limiter.try_acquire().expect("a permit"));
        assert!(!limiter.should_shed(ShedConnection::AfterReport));
    }
    permits.push(limiter.try_acquire().expect("a permit"));
    assert!(
        limiter.should_shed(ShedConnection::AfterReport),
        "one of 16 is free"
    );
    assert!(limiter.should_shed(ShedConnection::AfterPoll));
    permits.push(limiter.try_acquire().expect("a permit"));
    assert!(limiter.try_acquire().is_none());
    permits.truncate(10);
    assert!(!limiter.should_shed(ShedConnection::AfterPoll));
    assert!(limiter.try_acquire().is_some());
    let text = limiter.metrics.render();
    for label in ["refused", "reports", "polls"] {
        let line = format!("dalelb_shed_total{{what=\"{label}\"}} 1");
        assert!(text.contains(&line), "{text}");
    }
}
