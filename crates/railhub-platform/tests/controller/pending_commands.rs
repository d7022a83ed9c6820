//! Pending commands: coalesced, bounded, and encoded in calls.
use super::*;

/// The relay accepts calls that are shorter than this.
const CALL_SIZE_LIMIT: usize = 60_000;
const MAX_PENDING_COMMANDS: usize = 20_000;

#[test]
fn repeats_only_outstanding_commands_of_assigned_slices() {
    let mut pending = PendingCommands::default();
    push_entries(&mut pending, 3);
    pending.next_call(&[]).expect("a call");
    // The command for slice 0 was carried out, that for slice 1 was not, and slice 2 is assigned elsewhere now.
    let tables = [(SliceId(0), vec![(host(1), 1.0).into()]), (SliceId(1), Vec::new())].into();
    pending.reconcile(&tables);
    let repeated = pending.next_call(&[]).expect("one entry");
    assert!(repeated.commands == 1 && text(&repeated).contains("\"table\":1"), "{}", text(&repeated));
}

#[test]
fn drops_an_admission_rate_for_a_class_without_a_name() {
    let mut pending = PendingCommands::default();
    pending.push(Command::SetAdmissionRate { class: ClassId(1), rate: 0.5, retry: RetryPolicy::Never });
    pending.push(Command::SetAdmissionRate { class: ClassId(0), rate: 0.7, retry: RetryPolicy::Never });
    let call = pending.next_call(&["view".to_owned()]).expect("a call");
    assert_eq!(pending.unnamed_classes, 1);
    // The class `*` would set the rate of every class.
    assert!(
        call.commands == 1 && text(&call).contains("view") && !text(&call).contains('*'),
        "{}",
        text(&call)
    );
}

fn push_entries(pending: &mut PendingCommands, count: u16) {
    (0..count).for_each(|slice| {
        pending.push(Command::SetWeight {
            slice: SliceId(slice),
            entry: WeightedHost { host: host(1), weight: 1.0 },
        })
    });
}

#[test]
fn splits_commands_into_calls_below_the_size_limit() {
    let mut pending = PendingCommands::default();
    push_entries(&mut pending, 5000);
    let (mut calls, mut commands) = (0, 0);
    while let Some(call) = pending.next_call(&[]) {
        assert!(call.bytes.len() < CALL_SIZE_LIMIT && call.bytes.ends_with(b"]}}\n"));
        assert_eq!(text(&call).matches("\"op\"").count(), call.commands);
        (calls, commands) = (calls + 1, commands + call.commands);
        assert!(pending.on_accepted(call.commands).refused.is_none());
    }
    assert_eq!((calls > 3, commands), (true, 5000));
}

#[test]
fn drops_only_the_refused_command() {
    let mut pending = PendingCommands::default();
    push_entries(&mut pending, 5);
    assert_eq!(pending.next_call(&[]).expect("a call").commands, 5);
    push_entries(&mut pending, 6);
    // The relay accepts two commands and refuses the third.
    assert_eq!(
        pending.on_accepted(2).refused,
        Some(Command::SetWeight { slice: SliceId(2), entry: WeightedHost { host: host(1), weight: 1.0 } })
    );
    let rest = pending.next_call(&[]).expect("the rest of the call first");
    assert_eq!(rest.commands, 2);
    assert!(text(&rest).contains("\"table\":3") && text(&rest).contains("\"table\":4"));
    assert!(pending.on_accepted(2).refused.is_none());
    assert_eq!(pending.next_call(&[]).expect("the commands queued meanwhile").commands, 6);
}

#[test]
fn coalesces_pending_commands_by_key_and_bounds_them() {
    let mut pending = PendingCommands::default();
    pending
        .push(Command::SetWeight { slice: SliceId(1), entry: WeightedHost { host: host(1), weight: 0.0 } });
    pending
        .push(Command::SetWeight { slice: SliceId(1), entry: WeightedHost { host: host(2), weight: 1.0 } });
    pending.push(Command::Exclude(host(2)));
    pending
        .push(Command::SetWeight { slice: SliceId(1), entry: WeightedHost { host: host(1), weight: 1.0 } });
    pending.push(Command::Readmit(host(2)));
    let call = pending.next_call(&[]).expect("a call");
    assert_eq!((call.commands, pending.coalesced), (3, 2));
    let text = text(&call);
    assert!(
        text.find("\"s-2\",\"weight\":1.0").expect("kept")
            < text.find("\"s-1\",\"weight\":1.0").expect("last")
    );
    // On the wire, `restore` readmits a host and `withdraw` excludes it.
    assert!(text.contains("restore") && !text.contains("withdraw"));
    // The stored table has host 3; the pending commands add hosts 1 and 2.
    assert_eq!(pending.table_when_accepted(SliceId(1), &[(host(3), 0.5).into()]).len(), 3);
    pending.on_accepted(3);
    for slice in 0..u16::MAX {
        pending.push(Command::SetWeight {
            slice: SliceId(slice),
            entry: WeightedHost { host: host(1), weight: 1.0 },
        });
        assert!(pending.len() <= MAX_PENDING_COMMANDS);
    }
    assert!(pending.overflowed, "a new snapshot is needed");
}
