use super::*;

#[test]
fn limits_floods_but_not_steady_messages() {
    let mut steady = MessageRateLimiter::new(0.0);
    assert!((0..100_000).all(|message| steady.allow(f64::from(message) * 0.05)));
    let mut flood = MessageRateLimiter::new(0.0);
    let passed = (0..10_000).take_while(|message| flood.allow(f64::from(*message) * 0.001)).count();
    assert!((500..600).contains(&passed), "{passed}");
}
