use super::*;

#[test]
fn a_flood_is_cut_and_a_steady_proxy_is_not() {
    let mut steady = MessageRateLimiter::new(0.0);
    assert!((0..100_000).all(|n| steady.allow(f64::from(n) * 0.05)));
    let mut flood = MessageRateLimiter::new(0.0);
    let passed = (0..10_000).take_while(|n| flood.allow(f64::from(*n) * 0.001)).count();
    assert!((500..600).contains(&passed), "{passed}");
}
