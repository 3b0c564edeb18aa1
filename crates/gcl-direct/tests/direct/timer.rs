//! Arming, replacement and cancellation of timers.

use gcl_direct::timer::{Key, Service};
use std::time::Duration;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn a_rearmed_key_fires_once_at_its_new_time() {
    let mut timers = Service::default();
    timers.arm(Key::Lease, ms(10));
    timers.arm(Key::Lease, ms(20));
    assert_eq!(timers.next(), Some(ms(20)));
    assert_eq!(timers.pop(ms(19)), None);
    assert_eq!(timers.pop(ms(20)), Some(Key::Lease));
    assert_eq!(timers.pop(ms(99)), None);
}

#[test]
fn arm_by_keeps_the_earlier_time() {
    let mut timers = Service::default();
    timers.arm_by(Key::Gossip, ms(30));
    timers.arm_by(Key::Gossip, ms(50));
    assert_eq!(timers.next(), Some(ms(30)));
    timers.cancel(&Key::Gossip);
    assert_eq!(timers.next(), None);
}
