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

#[test]
fn lines_in_pieces_of_any_size_come_whole_and_too_long_ones_not_at_all() {
    let text = b"first\n\nthe third\r\nlast\nunended";
    for piece in 1..=text.len() {
        let (mut lines, mut got) = (Lines::new(20), Vec::new());
        for part in text.chunks(piece) {
            lines.push(part);
            while lines.has_line().expect("short") {
                got.push(lines.line(|line| String::from_utf8(line.to_vec()).expect("text")));
            }
        }
        assert_eq!(got, ["first", "", "the third", "last"]);
    }
    let mut lines = Lines::new(20);
    lines.push(&[b'x'; 20]);
    assert_eq!(lines.has_line(), Ok(false));
    lines.push(b"y");
    assert_eq!(lines.has_line(), Err(FrameError::TooLong { length: 21, limit: 20 }));
}
