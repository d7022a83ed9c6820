use super::*;

fn unpack(bytes: &[u8], piece: usize) -> Result<(Vec<u8>, bool), HttpError> {
    let (mut decoder, mut body) = (ChunkedDecoder::default(), Vec::new());
    for part in bytes.chunks(piece) {
        decoder.push(part, |part| body.extend_from_slice(part))?;
    }
    Ok((body, decoder.has_ended()))
}

#[test]
fn chunks_of_any_size_in_pieces_of_any_size_give_the_body() {
    let packed = b"5\r\nhosts\r\n1;note=x\r\n\n\r\n13\r\n in chunks of bytes\r\n0\r\n\r\nmore";
    for piece in 1..=packed.len() {
        let (body, ended) = unpack(packed, piece).expect("chunks");
        assert_eq!(body, b"hosts\n in chunks of bytes");
        assert!(ended, "what follows the last chunk is not read");
    }
}

#[test]
fn sizes_that_cannot_be_end_the_feed() {
    for packed in [&b"zz\r\nx"[..], b"\r\n", b"-1\r\n", &[b'1'; 300], b"fffffffffffffffff\r\n"] {
        for piece in [1, 7, 400] {
            assert!(matches!(unpack(packed, piece), Err(HttpError::Malformed(_))), "{packed:?}");
        }
    }
}
