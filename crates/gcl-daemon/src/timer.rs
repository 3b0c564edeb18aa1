//! The timer service: the reducer arms timers by key and receives the key when the timer fires.

use futures::StreamExt;
use gcl_core::timer::{Effect, Key};
use indexmap::IndexMap;
use std::time::Duration;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::Instant,
};
use tokio_util::time::{DelayQueue, delay_queue};

/// Sends the reducer's timer effects to the service.
#[derive(Clone, Debug)]
pub struct Handle {
    effects: UnboundedSender<Effect>,
}

impl Handle {
    /// Arms or cancels a timer.
    pub fn apply(&self, effect: Effect) {
        // Fails only during shutdown, when timers are no longer needed.
        let _ = self.effects.send(effect);
    }
}

/// Starts the service; times are relative to `origin`, and keys of fired timers go to `events`.
#[must_use]
pub fn start(origin: Instant, events: UnboundedSender<Key>) -> Handle {
    let (effects, receiver) = unbounded_channel();
    tokio::spawn(serve(origin, receiver, events));
    Handle { effects }
}

async fn serve(
    origin: Instant,
    mut effects: UnboundedReceiver<Effect>,
    events: UnboundedSender<Key>,
) {
    let mut service = Service { origin, queue: DelayQueue::new(), armed: IndexMap::new() };
    loop {
        tokio::select! {
            effect = effects.recv() => match effect {
                Some(effect) => service.apply(effect),
                None => return,
            },
            Some(due) = service.queue.next() => {
                let key = due.into_inner();
                service.armed.swap_remove(&key);
                if events.send(key).is_err() {
                    return;
                }
            }
        }
    }
}

struct Service {
    origin: Instant,
    queue: DelayQueue<Key>,
    armed: IndexMap<Key, delay_queue::Key>,
}

impl Service {
    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Arm { key, at } => self.arm(key, at),
            Effect::Cancel(key) => {
                if let Some(slot) = self.armed.swap_remove(&key) {
                    self.queue.remove(&slot);
                }
            }
        }
    }

    fn arm(&mut self, key: Key, at: Duration) {
        let due = self.origin + at;
        if let Some(slot) = self.armed.get(&key) {
            self.queue.reset_at(slot, due);
        } else {
            let slot = self.queue.insert_at(key.clone(), due);
            self.armed.insert(key, slot);
        }
    }
}
