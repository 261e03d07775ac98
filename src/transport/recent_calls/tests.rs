use std::time::Duration;

use super::*;

#[tokio::test(start_paused = true)]
async fn only_the_last_seconds_count() {
    let mut recent_calls = RecentCallCounter::new();
    for second in 0..8 {
        for call in 1..=10 {
            let before = 10 * second.min(RecentCallCounter::WINDOW_S - 1);
            assert_eq!(recent_calls.record_call(), before + call, "second {second}");
        }
        tokio::time::advance(Duration::from_secs(1)).await;
    }
    tokio::time::advance(Duration::from_secs(100)).await;
    assert_eq!(recent_calls.record_call(), 1);
}
