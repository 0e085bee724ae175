//! Orders that have no number of their own, committed so that a late copy never undoes a newer one;
//! see [`hemlockcrank_core::arrival`].

use hemlockcrank_core::{
    Name,
    arrival::{Arrival, Next},
    group::{Age, Edit, ZoneOrder},
    state::{Command, Reply},
};
use hemlockcrank_wire::ProposeReply;
use miette::Diagnostic;
use thiserror::Error;

use super::{CommandError, Control};
use crate::{clock::now_ms, contact::Contact};

/// Why an order was not carried out, or may not have been.
#[derive(Debug, Error, Diagnostic)]
pub enum OrderError {
    /// The order may be older than one that was carried out; it was dropped.
    #[error("a newer order may have been carried out; this one was not")]
    #[diagnostic(
        code(control::overtaken),
        help("send it again if it is still the newest one")
    )]
    Overtaken,
    /// The command has no result.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Command(#[from] CommandError),
}

impl Control {
    /// Takes an availability zone out of service, or back into service.
    ///
    /// # Errors
    ///
    /// [`OrderError`] if the order was not carried out, or may not have been.
    pub async fn order_zone(
        &self,
        arrival: Arrival,
        zone: &Name,
        in_service: bool,
    ) -> Result<(), OrderError> {
        let mut since = arrival.index;
        loop {
            let order = ZoneOrder {
                zone: zone.clone(),
                in_service,
                since,
            };
            let reply = self.propose(Command::Group(Edit::Order(order))).await?;
            let overtaken = match reply {
                ProposeReply::Applied {
                    reply: Reply::Overtaken { index },
                    ..
                } => Some(index),
                _ => None,
            };
            match arrival.next(now_ms(), overtaken) {
                Next::Done => return Ok(()),
                Next::Again(index) => since = index,
                Next::Drop => return Err(OrderError::Overtaken),
            }
        }
    }

    /// Removes the process of a member that says that it is gone, and none that has started since
    /// under its name.
    ///
    /// # Errors
    ///
    /// [`OrderError`] if the order was not carried out, or may not have been.
    pub async fn remove_member(&self, contact: &Contact, member: &Name) -> Result<(), OrderError> {
        if let Some(born) = contact.announced(member) {
            self.depart(member, born).await?;
            return Ok(());
        }
        if let Some(born) = contact.known(member)
            && self.depart(member, born).await?
        {
            return Ok(());
        }
        let latest = self.read_latest().await.ok_or(CommandError::NoLeader)?;
        match latest.state.groups.find(member) {
            None => Ok(()),
            Some((_, data)) if contact.arrival().is_recent(now_ms()) => {
                self.depart(member, data.age.born).await?;
                Ok(())
            }
            Some(_) => Err(OrderError::Overtaken),
        }
    }

    /// Removes a member's process that started at `born`; returns whether it was a member.
    async fn depart(&self, member: &Name, born: u64) -> Result<bool, OrderError> {
        // Outdates every announcement of the process.
        let age = Age {
            born,
            seq: u64::MAX,
        };
        let member = member.clone();
        let command = Command::Group(Edit::Depart { member, age });
        let reply = self.propose(command).await?;
        let removed = matches!(
            reply,
            ProposeReply::Applied {
                reply: Reply::Done,
                ..
            }
        );
        Ok(removed)
    }
}
