//! The long-running tasks of a host.

use std::collections::HashMap;

use tokio::task::{Id, JoinSet};

/// Tasks that must run as long as the host does, with their names.
#[derive(Debug, Default)]
pub(crate) struct Tasks {
    set: JoinSet<()>,
    names: HashMap<Id, &'static str>,
}

impl Tasks {
    /// Starts a task.
    pub(crate) fn spawn<F>(&mut self, name: &'static str, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let id = self.set.spawn(task).id();
        self.names.insert(id, name);
    }

    /// Waits until a task ends, and returns its name and why it ended.
    pub(crate) async fn ended(&mut self) -> (&'static str, String) {
        let (id, cause) = match self.set.join_next_with_id().await {
            Some(Ok((id, ()))) => (id, "it returned".to_owned()),
            Some(Err(error)) => (error.id(), error.to_string()),
            None => std::future::pending().await,
        };
        (self.names.remove(&id).unwrap_or("task"), cause)
    }

    /// Stops all tasks.
    pub(crate) async fn stop(&mut self) {
        self.set.shutdown().await;
    }
}
