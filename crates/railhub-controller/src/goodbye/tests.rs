//! The reasons are part of the proxy protocol: a change of an error's log text must not change what is sent.
use super::*;
use railhub_net::StreamError;
use railhub_proto::FrameError;
use std::io;

fn assert_reason(error: impl Into<SessionError>, expected: &str) {
    assert_eq!(goodbye_reason(&error.into()), expected);
}

#[test]
fn session_errors_keep_their_reasons() {
    assert_reason(SessionError::NoSubscription, "the first message is no subscription");
    let number_too_large = SessionError::NumberTooLarge { proxy: 65_536, zone: 7 };
    assert_reason(number_too_large, "proxy 65536 or zone 7 is too large a number");
    assert_reason(SessionError::SecondSubscription, "a second subscription on one stream");
    assert_reason(SessionError::UnknownMessage, "a message without a word");
    assert_reason(SessionError::TooManyMessages, "too many messages");
}

#[test]
fn report_errors_keep_their_reasons() {
    assert_reason(ReportError::Span, "sums with a span that cannot be");
    assert_reason(ReportError::TimesOrCounts, "sums with times or counts that cannot be");
    assert_reason(ReportError::Utilization, "sums with a load that cannot be");
    assert_reason(ReportError::SliceOrClass, "sums with a slice or class that cannot be");
}

#[test]
fn connection_errors_keep_their_reasons() {
    assert_reason(StreamError::Closed, "closed by the peer");
    assert_reason(StreamError::Silent, "silent for too long");
    assert_reason(StreamError::Io(io::Error::other("reset")), "broken: reset");
}

#[test]
fn frame_errors_keep_their_reasons() {
    let assert_frame_reason =
        |error: FrameError, expected: &str| assert_reason(StreamError::Frame(error), expected);
    let too_long = FrameError::TooLong { length: 300, limit: 200 };
    assert_frame_reason(too_long, "a frame of 300 bytes, 200 are allowed");
    assert_frame_reason(FrameError::Empty, "an empty frame");
    let malformed = FrameError::Malformed("invalid tag".to_owned());
    assert_frame_reason(malformed, "a frame that is no message: invalid tag");
    assert_frame_reason(FrameError::CutOff, "the stream ended inside a frame");
}

#[test]
fn a_stopped_reader_keeps_its_reason() {
    assert_eq!(READER_STOPPED, "the stream ends");
}
