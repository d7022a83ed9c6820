use super::*;

#[test]
fn things_happen_in_the_order_of_their_times() {
    let (sender, receiver) = channel();
    for span in [0.09, 0.03, 0.06] {
        let sender = sender.clone();
        run_after(span, move || sender.send(span).expect("still read"));
    }
    let got: Vec<f64> = (0..3).map(|_| receiver.recv().expect("it happens")).collect();
    assert_eq!(got, [0.03, 0.06, 0.09]);
}
