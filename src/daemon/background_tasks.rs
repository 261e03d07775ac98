//! Asynchronous tasks that run as long as the process. Dropping the set cancels them.

use std::{collections::HashMap, future::Future};

use tokio::task::{Id, JoinError, JoinSet};

/// A set of named asynchronous tasks that should never end.
#[derive(Default)]
pub(super) struct BackgroundTasks {
    tasks: JoinSet<()>,
    names: HashMap<Id, &'static str>,
}

impl BackgroundTasks {
    /// Starts a task.
    pub(super) fn spawn(
        &mut self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let handle = self.tasks.spawn(task);
        self.names.insert(handle.id(), name);
    }

    /// Starts a task on this thread; it need not be `Send`.
    ///
    /// # Panics
    /// If called outside a `LocalSet`.
    pub(super) fn spawn_local(
        &mut self,
        name: &'static str,
        task: impl Future<Output = ()> + 'static,
    ) {
        let handle = self.tasks.spawn_local(task);
        self.names.insert(handle.id(), name);
    }

    /// Logs each task that ends or panics; none should. Never returns.
    pub(super) async fn log_failures(&mut self) {
        while let Some(ended) = self.tasks.join_next_with_id().await {
            self.log_end(ended);
        }
        std::future::pending().await
    }

    fn log_end(&mut self, ended: Result<(Id, ()), JoinError>) {
        let id = match &ended {
            Ok((id, ())) => *id,
            Err(error) => error.id(),
        };
        let task = self.names.remove(&id).unwrap_or("unnamed");
        match ended {
            Ok(_) => tracing::error!(task, "background task ended"),
            Err(error) => tracing::error!(task, %error, "background task failed"),
        }
    }
}
