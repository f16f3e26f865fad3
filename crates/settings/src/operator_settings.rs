//! Credential of an operator.

use crate::{SecretText, section_values::SectionValues};

/// Settings of one operator.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorSettings {
    /// Bearer token of the operator.
    pub credential: SecretText,
}

impl OperatorSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<OperatorSettings> {
        Some(OperatorSettings { credential: values.text("credential").map(SecretText::new)? })
    }
}
