use super::*;
use crate::decision::retry_policy::widest_safe_policy;

#[test]
fn retries_after_failure_need_spare_capacity() {
    // At two thirds of the fleet's capacity, retries would cause an overload.
    for (rate, policy) in [(3.0, RetryPolicy::AfterFailure), (8.5, RetryPolicy::IfNotExecuted)] {
        let mut controller = controller(config());
        set_load(&mut controller, 101.0, rate, 0.1);
        controller.publisher.admission[0].retry_policy = RetryPolicy::Never;
        let loads = controller.loads(101.0);
        controller.admission.update(&controller.config, &controller.slices, &loads);
        let mut commands = RecordedCommands::default();
        controller.publish(101.0, true, &mut commands);
        assert_eq!(commands.admission[0], (ClassId(0), 1.0, policy));
    }
}

#[test]
fn retries_never_take_effect_twice() {
    assert_eq!(widest_safe_policy(&class(Idempotency::Never, 1.0), 1.0), RetryPolicy::IfNotExecuted);
    assert_eq!(
        widest_safe_policy(&class(Idempotency::IdempotencyKeyLocal, 1.0), 1.0),
        RetryPolicy::IfNotExecuted
    );
    assert_eq!(
        widest_safe_policy(&class(Idempotency::IdempotencyKeyGlobal(1.5), 1.0), 1.0),
        RetryPolicy::IfNotExecuted
    );
    assert_eq!(
        widest_safe_policy(&class(Idempotency::IdempotencyKeyGlobal(5.0), 1.0), 1.0),
        RetryPolicy::AfterFailure
    );
}
