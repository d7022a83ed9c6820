use super::*;
use crate::{from_proxy, Ack, FromProxy};

fn ack(nonce: u64) -> FromProxy {
    FromProxy { payload: Some(from_proxy::Payload::Ack(Ack { nonce })) }
}

#[test]
fn messages_come_out_however_the_bytes_are_cut() {
    let bytes: Vec<u8> = (0..50).flat_map(|n| frame(&ack(n * 1000))).collect();
    for step in [1, 3, 7, 1000] {
        let mut deframer = Deframer::new(100);
        let mut got = Vec::new();
        for part in bytes.chunks(step) {
            deframer.push(part);
            while let Some(message) = deframer.message::<FromProxy>().expect("whole frames") {
                got.push(message);
            }
        }
        assert_eq!(got, (0..50).map(|n| ack(n * 1000)).collect::<Vec<_>>());
        assert_eq!(deframer.finish(), Ok(()));
    }
}

#[test]
fn a_length_over_the_limit_is_refused_before_its_bytes_come() {
    let mut deframer = Deframer::new(100);
    deframer.push(&101u32.to_be_bytes());
    let fault = deframer.message::<FromProxy>().expect_err("too long");
    assert_eq!(fault, FrameError::TooLong { length: 101, limit: 100 });
}

#[test]
fn a_stream_that_ends_inside_a_frame_is_cut_off() {
    let mut deframer = Deframer::new(100);
    deframer.push(&frame(&ack(77))[..5]);
    assert_eq!(deframer.message::<FromProxy>(), Ok(None));
    assert_eq!(deframer.finish(), Err(FrameError::CutOff));
}
