use serde::Deserialize;
use serde_json::value::RawValue;

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
            match serde_json::from_str(raw.get()) {
                Ok(element) => decoded.push(element),
                Err(e) => report(format!("{i}: {e}")),
            }
        }
        decoded
    }
}
