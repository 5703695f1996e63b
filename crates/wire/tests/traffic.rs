use capnp::{message::Builder, serialize::write_message_to_words};
use wire::MessageCounter;

macro_rules! case {
    ($name:ident, $messages:expr, $step:expr) => {
        #[test]
        fn $name() {
            check($messages, $step);
        }
    };
}

case!(one_whole, 1, usize::MAX);
case!(many_in_one_piece, 9, usize::MAX);
case!(many_byte_by_byte, 9, 1);
case!(many_in_odd_pieces, 9, 13);

/// Counts messages of several sizes, and of one and two segments.
fn check(messages: u64, step: usize) {
    let mut stream = Vec::new();
    for i in 0..messages {
        let mut message = Builder::new(capnp::message::HeapAllocator::new().first_segment_words(1));
        message.set_root(&*"x".repeat(100 * i as usize)).unwrap();
        stream.extend(write_message_to_words(&message));
    }
    let mut frames = MessageCounter::default();
    let counted: u64 = stream.chunks(step.min(stream.len())).map(|c| frames.feed(c)).sum();
    assert_eq!(counted, messages);
}
