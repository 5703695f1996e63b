use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

/// Replaces what can't be read: a noncharacter, which no text is meant to have.
const UNREADABLE: char = '\u{FFFF}';

/// The text of a JSON document, in which bytes that are no UTF-8 and control characters, both
/// refused by the parser wherever they stand, are replaced, so that only the element that has
/// them is refused.
pub fn readable_text(document: &[u8]) -> Cow<'_, str> {
    let text = match str::from_utf8(document) {
        Ok(text) => Cow::Borrowed(text),
        Err(_) => {
            let mut text = String::with_capacity(document.len());
            for chunk in document.utf8_chunks() {
                text.push_str(chunk.valid());
                if !chunk.invalid().is_empty() {
                    text.push(UNREADABLE);
                }
            }
            Cow::Owned(text)
        }
    };
    match text.contains(is_refused) {
        true => Cow::Owned(text.replace(is_refused, UNREADABLE.encode_utf8(&mut [0; 4]))),
        false => text,
    }
}

/// Whether a character is refused by the parser in every place.
fn is_refused(c: char) -> bool {
    c < ' ' && !matches!(c, '\t' | '\n' | '\r')
}

/// Elements of a list that are decoded one by one. Other writers may leave an odd one: the
/// parser's refusal of it must not hide the others.
#[derive(Debug, Default, Deserialize)]
#[serde(transparent)]
pub struct Elements<'a>(#[serde(borrow)] Vec<&'a RawValue>);

impl<'a> Elements<'a> {
    /// The elements that can be decoded; reports position and reason of each other one.
    pub fn decode<T: Deserialize<'a>>(&self, mut report: impl FnMut(String)) -> Vec<T> {
        let mut decoded = Vec::with_capacity(self.0.len());
        for (i, raw) in self.0.iter().enumerate() {
            if raw.get().contains(UNREADABLE) {
                report(format!("{i}: bytes that can't be read"));
                continue;
            }
            match serde_json::from_str(raw.get()) {
                Ok(element) => decoded.push(element),
                Err(e) => report(format!("{i}: {e}")),
            }
        }
        decoded
    }
}
