//! Binds a request that takes a stream up to the service and the version that began the stream.

use super::{Chosen, Dispatch};
use crate::answer::Reason;
use crate::edge::Protocol;
use crate::resumption::{self, NotFound, ResumableStream};
use crate::retry_delay::DEFAULT_RETRY_DELAY;
use limehollow::stream_origin::{MAX_LIFE, StreamOrigin, StreamTag};
use std::time::Duration;

impl<P> Dispatch<'_, P>
where
    P: Protocol,
{
    /// Restricts a request that takes a stream up to the service and the version that began the stream.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal and the retry delay.
    pub(super) async fn bind_version(&mut self) -> Result<(), (Reason, Duration)> {
        let Some(resumption) = self.meta.resumption.as_ref().filter(|_| self.rule.stream) else {
            return Ok(());
        };
        let found = match &resumption.first_request {
            Some(_) => resumption::find(self.site, self.stream_tag()).await,
            None => Err(resumption::unnamed(self.site)),
        };
        let found = found.or_else(|e| match e {
            NotFound::Conflicting => Err(e),
            NotFound::Nobody | NotFound::Unanswered => {
                resumption::prove(self.site, self.catalog, self.rule).ok_or(e)
            }
        });
        let first = resumption.first_request.as_deref().unwrap_or_default();
        resumption::log(self.site, &self.meta.id, first, &found);
        let origin = match found {
            Ok(f) => f.origin,
            Err(NotFound::Unanswered) => {
                return Err((Reason::StreamUnknown, DEFAULT_RETRY_DELAY));
            }
            // What nobody knows will not be known later.
            Err(NotFound::Nobody | NotFound::Conflicting) => {
                return Err((Reason::StreamUnknown, self.time_left()));
            }
        };
        if !self.rule.leads_to(&origin.service) {
            return Err((Reason::StreamElsewhere, self.time_left()));
        }
        self.job.service = origin.service;
        self.job.software = Some(origin.software);
        Ok(())
    }

    /// Returns what began the stream that this request takes up.
    pub(super) fn origin(&self) -> Option<StreamOrigin> {
        Some(StreamOrigin {
            service: self.job.service.clone(),
            software: self.job.software.clone()?,
        })
    }

    /// Returns `true` if no endpoint of the version that began the stream takes work.
    pub(super) fn lacks_version(&self) -> bool {
        let view = self.site.view();
        let mut open = view.roster.open(&self.job.service);
        self.job.software.is_some() && !open.any(|(_, e)| self.job.may_run_at(e))
    }

    /// Returns the tag of the stream that this request begins or takes up.
    fn stream_tag(&self) -> StreamTag {
        let workspace = self.authorization.map(|p| p.workspace.as_str());
        StreamTag::of(workspace, self.first_request().unwrap_or(&self.meta.id))
    }

    /// Returns the stream for an attempt whose caller may take it up later.
    pub(super) fn resumable_stream(&self, c: &Chosen) -> Option<ResumableStream> {
        if !self.rule.stream || !self.rule.resumable {
            return None;
        }
        let origin = StreamOrigin {
            service: self.job.service.clone(),
            software: c.software.clone()?,
        };
        let caller_waits = self.meta.timeout.unwrap_or(self.rule.timeout);
        let expires = self.arrived + caller_waits.min(MAX_LIFE);
        Some(ResumableStream::new(self.stream_tag(), origin, expires))
    }

    pub(super) fn time_left(&self) -> Duration {
        self.expiry.saturating_duration_since(self.site.now())
    }

    /// Returns the id of the request that began the stream that this one takes up, if the caller names it.
    pub(super) fn first_request(&self) -> Option<&str> {
        let resumption = self.meta.resumption.as_ref()?;
        resumption.first_request.as_deref()
    }
}
