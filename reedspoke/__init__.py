"""reedspoke: a scheduler beside each submitter that decides which worker gets which job, and when."""
