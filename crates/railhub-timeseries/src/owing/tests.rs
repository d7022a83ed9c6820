use super::*;

#[test]
fn a_word_settles_what_came_before_it_for_that_proxy_alone() {
    let mut owing = Owing::default();
    for (proxy, version) in [(1, 1), (1, 2), (1, 3), (2, 1), (2, 2)] {
        owing.got(proxy, version, 10);
    }
    owing.word(1, 2);
    assert_eq!((owing.deltas(), owing.total_lines()), (3, 30));
    owing.gone(2);
    assert_eq!(owing.deltas(), 1);
}
