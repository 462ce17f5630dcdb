//! The node that runs on an entry VM.
