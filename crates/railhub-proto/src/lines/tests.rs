use super::*;

#[test]
fn splits_lines_from_chunks_of_any_size_and_rejects_long_ones() {
    let text = b"first\n\nthe third\r\nlast\nunended";
    for chunk_size in 1..=text.len() {
        let (mut lines, mut split) = (LineSplitter::new(20), Vec::new());
        for chunk in text.chunks(chunk_size) {
            lines.push(chunk);
            while lines.has_line().expect("below the limit") {
                split.push(lines.next_line(|line| String::from_utf8(line.to_vec()).expect("UTF-8")));
            }
        }
        assert_eq!(split, ["first", "", "the third", "last"]);
    }
    let mut lines = LineSplitter::new(20);
    lines.push(&[b'x'; 20]);
    assert_eq!(lines.has_line(), Ok(false));
    lines.push(b"y");
    assert_eq!(lines.has_line(), Err(FrameError::TooLong { length: 21, limit: 20 }));
}
