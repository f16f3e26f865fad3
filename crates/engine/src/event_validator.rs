//! Validation of the events of a stream.

use crate::{EngineError, StreamEvent};

/// Checks that the events of a stream belong to the requested generation and follow each other
/// without gaps.
pub(crate) struct EventValidator {
    generation: String,
    epoch: Option<u32>,
    next_index: u64,
}

impl EventValidator {
    /// Expects events of `generation` from token `next_index` on. If `epoch` is `None`, it is taken
    /// from the first event that has one.
    pub(crate) fn new(generation: String, epoch: Option<u32>, next_index: u64) -> EventValidator {
        EventValidator { generation, epoch, next_index }
    }

    /// Parses an event and checks that it is the next one of the stream. A gap or a duplicate is an
    /// error, because every later token would be delivered at the wrong position.
    pub(crate) fn parse_event(&mut self, data: &str) -> Result<StreamEvent, EngineError> {
        let event: StreamEvent = serde_json::from_str(data).map_err(|_| EngineError::Protocol)?;
        match &event {
            StreamEvent::Token { generation, epoch, index, .. } => {
                self.check_position(generation, *epoch, *index)?;
                self.next_index += 1;
            }
            StreamEvent::Finished { generation, epoch, count, .. } => {
                self.check_position(generation, *epoch, *count)?;
            }
            StreamEvent::Heartbeat { generation } | StreamEvent::Failed { generation, .. } => {
                self.check_generation(generation)?;
            }
        }
        Ok(event)
    }

    fn check_generation(&self, generation: &str) -> Result<(), EngineError> {
        if generation == self.generation { Ok(()) } else { Err(EngineError::Protocol) }
    }

    fn check_position(
        &mut self,
        generation: &str,
        epoch: u32,
        index: u64,
    ) -> Result<(), EngineError> {
        self.check_generation(generation)?;
        let expected_epoch = *self.epoch.get_or_insert(epoch);
        if epoch == expected_epoch && index == self.next_index {
            Ok(())
        } else {
            Err(EngineError::Protocol)
        }
    }
}
