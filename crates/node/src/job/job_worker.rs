//! Runs the attempts of deferred generations that this VM has claimed.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dragonflycart_core::{ErrorKind, GenerationId, RequestKey, ServerName, ServiceError};
use serde_json::json;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};

use crate::{
    control::{ControlMessage, GenerationPlacementRequest},
    generation::{
        GenerationBuffer, GenerationEnd, GenerationRunner, GenerationSpec, GenerationStore,
        ReaderGuard, RunnerContext,
    },
    job::{JobAttempt, JobMessage, JobRequest},
    node_clock::NodeClock,
};

/// Time limit of one attempt. The longest output, 100,000 tokens at 72 ms each, takes two hours.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4 * 3_600);

/// Runs the attempts that the control thread requests, until `closing` becomes true. Attempts that
/// still run are then stopped at their engines, because another VM will run the jobs anew.
pub(crate) async fn run_worker(
    context: RunnerContext,
    store: Arc<GenerationStore>,
    clock: NodeClock,
    mut attempts: mpsc::UnboundedReceiver<JobAttempt>,
    closing: watch::Receiver<bool>,
) {
    let mut running = JoinSet::new();
    let mut stop = closing.clone();
    loop {
        let attempt = tokio::select! {
            attempt = attempts.recv() => attempt,
            Some(_) = running.join_next() => continue,
            _ = stop.wait_for(|closing| *closing) => break,
        };
        let Some(attempt) = attempt else { break };
        let closing = closing.clone();
        let context = context.clone();
        let store = Arc::clone(&store);
        running.spawn(async move {
            let result = run_attempt(&context, &store, clock, &attempt, closing).await;
            let message = JobMessage::Ended(attempt.key, attempt.attempt, result);
            context.control.send(ControlMessage::Job(message)).await;
        });
    }
    while running.join_next().await.is_some() {}
}

async fn run_attempt(
    context: &RunnerContext,
    store: &GenerationStore,
    clock: NodeClock,
    attempt: &JobAttempt,
    mut closing: watch::Receiver<bool>,
) -> Result<Bytes, ServiceError> {
    let internal = |message: String| ServiceError::new(ErrorKind::Internal, message);
    let request: JobRequest = serde_json::from_slice(&attempt.request)
        .map_err(|error| internal(format!("the job in the log can't be read: {error}")))?;
    let unplaced = ServerName::new("unplaced").map_err(|error| internal(error.to_string()))?;
    let id = GenerationId::generate(unplaced);
    let key = RequestKey::new(&attempt.key.key).map_err(|error| internal(error.to_string()))?;
    let spec = GenerationSpec {
        team: request.team,
        route: request.route,
        model: request.model,
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        seed: request.seed.unwrap_or(id.unique() as u64),
        key,
        deadline: clock.now() + ATTEMPT_TIMEOUT,
    };
    let buffer = Arc::new(GenerationBuffer::new(id.clone(), 0));
    store.insert(&id, &spec.team, None, &buffer);
    let placed = context.control.place_generation(GenerationPlacementRequest::of(&spec)).await;
    let placed = match placed {
        Ok(placed) => placed,
        Err(error) => {
            store.remove(&id);
            return Err(error);
        }
    };
    let model = spec.model.clone();
    // The guard keeps the generation from being abandoned, since no caller reads a job's tokens.
    let _reader = ReaderGuard::new(Arc::clone(&buffer));
    let run = GenerationRunner::new(context.clone(), Arc::clone(&buffer), spec, placed).run();
    let abandon = async {
        // The sender is dropped only after it has sent true.
        let _ = closing.wait_for(|closing| *closing).await;
        buffer.abandon();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = run => {}
        () = abandon => {}
    }
    store.remove(&id);
    match buffer.end() {
        Some(GenerationEnd::Finished { reason }) => {
            let body = json!({
                "id": buffer.location().to_string(),
                "object": "text_completion",
                "model": model,
                "choices": [{ "index": 0, "text": buffer.whole_text(), "finish_reason": reason }],
                "usage": { "completion_tokens": buffer.next_index() },
            });
            Ok(Bytes::from(body.to_string()))
        }
        Some(GenerationEnd::Failed(error)) => Err(error),
        None => Err(internal("the generation was abandoned".to_owned())),
    }
}
