use super::*;
use crate::{from_proxy, Ack, FromProxy};

fn ack(nonce: u64) -> FromProxy {
    FromProxy { payload: Some(from_proxy::Payload::Ack(Ack { nonce })) }
}

#[test]
fn decodes_messages_from_chunks_of_any_size() {
    let bytes: Vec<u8> = (0..50).flat_map(|index| frame(&ack(index * 1000))).collect();
    for chunk_size in [1, 3, 7, 1000] {
        let mut deframer = Deframer::new(100);
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_size) {
            deframer.push(chunk);
            while let Some(message) = deframer.message::<FromProxy>().expect("valid frames") {
                decoded.push(message);
            }
        }
        assert_eq!(decoded, (0..50).map(|index| ack(index * 1000)).collect::<Vec<_>>());
        assert_eq!(deframer.finish(), Ok(()));
    }
}

#[test]
fn rejects_oversized_length_before_the_body_arrives() {
    let mut deframer = Deframer::new(100);
    deframer.push(&101u32.to_be_bytes());
    let error = deframer.message::<FromProxy>().expect_err("too long");
    assert_eq!(error, FrameError::TooLong { length: 101, limit: 100 });
}

#[test]
fn reports_stream_end_inside_a_frame_as_truncated() {
    let mut deframer = Deframer::new(100);
    deframer.push(&frame(&ack(77))[..5]);
    assert_eq!(deframer.message::<FromProxy>(), Ok(None));
    assert_eq!(deframer.finish(), Err(FrameError::Truncated));
}
