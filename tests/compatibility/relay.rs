//! What the relay stores, says to the process that replaces it, counts, and reads from operators' files.
