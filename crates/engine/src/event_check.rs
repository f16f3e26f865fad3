//! Check that each event of a stream belongs to the generation that was asked for.

use crate::{EngineError, StreamEvent};

/// Expected identity and position of the next event of one stream.
pub(crate) struct EventCheck {
    generation: String,
    epoch: Option<u32>,
    next_index: u64,
}

impl EventCheck {
    /// Expects events of `generation` from token `next_index` on. Without a known epoch the first
    /// event that states one determines it.
    pub(crate) fn new(generation: String, epoch: Option<u32>, next_index: u64) -> EventCheck {
        EventCheck { generation, epoch, next_index }
    }

    /// Parses one event and checks that it continues the stream. A gap or a duplicate is an error,
    /// because a later token would be delivered at the wrong position.
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
