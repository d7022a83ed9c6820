//! Input lines shared by the tests of the adapter.

/// Creates an instance with four slices.
pub const CREATE: &str =
    "CREATE seed=7 ceilings.probes=true family_info.backlog=1000.0 family_info.envelope=8.0 \
    family_info.exclusive=false family_info.first_wait=1.0 family_info.key_ranges=4 \
    family_info.messages_over_us=10000000 family_info.throttle_by=share \
    family_info.update_cap=20 request_classes.count=1 request_classes.0.aim_us=800000 \
    request_classes.0.effect=repeatable request_classes.0.name=view \
    request_classes.0.worth=1.0 rules.cold_from=0.2 rules.fall_multiple=2.5 \
    rules.warm_within_us=10000000 telemetry.names=rif,busy zones=a,b tick_us=4000 unheard.of=1";
