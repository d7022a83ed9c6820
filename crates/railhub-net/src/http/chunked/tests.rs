use super::*;

fn decode(encoded: &[u8], piece_size: usize) -> Result<(Vec<u8>, bool), HttpError> {
    let (mut decoder, mut body) = (ChunkedDecoder::default(), Vec::new());
    for piece in encoded.chunks(piece_size) {
        decoder.push(piece, |data| body.extend_from_slice(data))?;
    }
    Ok((body, decoder.has_ended()))
}

#[test]
fn decodes_chunked_body_from_pieces_of_any_size() {
    let encoded = b"5\r\nhosts\r\n1;note=x\r\n\n\r\n13\r\n in chunks of bytes\r\n0\r\n\r\nmore";
    for piece_size in 1..=encoded.len() {
        let (body, ended) = decode(encoded, piece_size).expect("valid chunks");
        assert_eq!(body, b"hosts\n in chunks of bytes");
        assert!(ended, "bytes after the last chunk are ignored");
    }
}

#[test]
fn rejects_invalid_chunk_sizes() {
    for encoded in [&b"zz\r\nx"[..], b"\r\n", b"-1\r\n", &[b'1'; 300], b"fffffffffffffffff\r\n"] {
        for piece_size in [1, 7, 400] {
            assert!(matches!(decode(encoded, piece_size), Err(HttpError::Malformed(_))), "{encoded:?}");
        }
    }
}
