use capnp::{message::Builder, serialize::write_message_to_words};
use wire::MessageCounter;

macro_rules! case {
    ($name:ident, $messages:expr, $chunk_size:expr) => {
        #[test]
        fn $name() {
            check($messages, $chunk_size);
        }
    };
}

case!(one_message, 1, usize::MAX);
case!(many_in_one_chunk, 9, usize::MAX);
case!(many_byte_by_byte, 9, 1);
case!(many_in_uneven_chunks, 9, 13);

/// Feeds messages of several sizes, of one and two segments, in chunks of `chunk_size` bytes.
fn check(messages: u64, chunk_size: usize) {
    let mut stream = Vec::new();
    for i in 0..messages {
        let mut message = Builder::new(capnp::message::HeapAllocator::new().first_segment_words(1));
        message.set_root(&*"x".repeat(100 * i as usize)).unwrap();
        stream.extend(write_message_to_words(&message));
    }
    let mut counter = MessageCounter::default();
    let counted: u64 = stream.chunks(chunk_size.min(stream.len())).map(|c| counter.feed(c)).sum();
    assert_eq!(counted, messages);
}
