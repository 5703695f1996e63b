//! Admission at an entry: what is refused at once, and when to come back.
