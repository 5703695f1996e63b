use base::Name;

use crate::{Error, Result};

pub fn read_name(field: capnp::Result<capnp::text::Reader<'_>>) -> Result<Name> {
    let field = field.map_err(|e| Error::Malformed(e.to_string()))?;
    let text = field.to_str().map_err(|e| Error::Malformed(e.to_string()))?;
    Ok(text.into())
}
