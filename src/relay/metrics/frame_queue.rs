//! Frames that wait in memory for an exporter's connection.

use std::collections::VecDeque;

/// Encoded samples, sent as a whole.
#[derive(Clone, Debug)]
pub(super) struct Frame {
    pub(super) bytes: Vec<u8>,
    /// The samples in it.
    pub(super) samples: u64,
}

/// Frames in the order in which they are sent, bounded in bytes.
#[derive(Debug)]
pub(super) struct FrameQueue {
    frames: VecDeque<Frame>,
    queued_bytes: usize,
    max_bytes: usize,
    /// Bytes of the first frame that are written.
    written_bytes: usize,
}

impl FrameQueue {
    pub(super) fn new(max_bytes: usize) -> FrameQueue {
        FrameQueue { frames: VecDeque::new(), queued_bytes: 0, max_bytes, written_bytes: 0 }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    pub(super) fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Returns the samples of all frames.
    pub(super) fn samples(&self) -> u64 {
        self.frames.iter().map(|frame| frame.samples).sum()
    }

    /// Returns whether the first frame is partly written.
    pub(super) fn is_partly_written(&self) -> bool {
        self.written_bytes > 0
    }

    /// Returns the first frame's bytes.
    pub(super) fn first(&self) -> Option<&[u8]> {
        self.frames.front().map(|frame| &frame.bytes[..])
    }

    /// Returns the first frame's bytes that are not written.
    pub(super) fn unwritten(&self) -> Option<&[u8]> {
        self.first().map(|bytes| &bytes[self.written_bytes..])
    }

    /// Adds a frame; returns the frames that were removed for it, the oldest first.
    ///
    /// A partly written frame stays, as the stream would be cut within it.
    pub(super) fn push(&mut self, frame: Frame) -> Vec<Frame> {
        let mut evicted = Vec::new();
        while self.queued_bytes + frame.bytes.len() > self.max_bytes {
            let Some(oldest) = self.frames.remove(self.first_unwritten_index()) else {
                evicted.push(frame);
                return evicted;
            };
            self.queued_bytes -= oldest.bytes.len();
            evicted.push(oldest);
        }
        self.queued_bytes += frame.bytes.len();
        self.frames.push_back(frame);
        evicted
    }

    /// Removes all but the newest frames, the oldest first; a partly written frame stays.
    pub(super) fn drain_older_than(&mut self, newest: usize) -> Vec<Frame> {
        let mut drained = Vec::new();
        let first = self.first_unwritten_index();
        while self.frames.len() > newest.max(first) {
            let Some(oldest) = self.frames.remove(first) else { break };
            self.queued_bytes -= oldest.bytes.len();
            drained.push(oldest);
        }
        drained
    }

    /// Has the first frame written again from its beginning.
    pub(super) fn restart_first(&mut self) {
        self.written_bytes = 0;
    }

    /// Removes the first frame, also one that is partly written.
    pub(super) fn remove_first(&mut self) {
        self.written_bytes = 0;
        self.queued_bytes -= self.frames.pop_front().map_or(0, |frame| frame.bytes.len());
    }

    /// Records that bytes of the first frame were written; returns whether it is complete and was removed.
    pub(super) fn record_written(&mut self, count: usize) -> bool {
        self.written_bytes += count;
        let complete = self.frames.front().is_some_and(|frame| self.written_bytes >= frame.bytes.len());
        if complete {
            self.remove_first();
        }
        complete
    }

    fn first_unwritten_index(&self) -> usize {
        usize::from(self.is_partly_written())
    }
}
