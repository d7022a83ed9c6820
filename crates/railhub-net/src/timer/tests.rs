use super::*;

#[test]
fn actions_run_in_order_of_due_time() {
    let (sender, receiver) = channel();
    for delay in [0.09, 0.03, 0.06] {
        let sender = sender.clone();
        run_after(delay, move || sender.send(delay).expect("the receiver is open"));
    }
    let order: Vec<f64> = (0..3).map(|_| receiver.recv().expect("the action ran")).collect();
    assert_eq!(order, [0.03, 0.06, 0.09]);
}
