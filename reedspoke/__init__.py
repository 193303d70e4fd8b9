"""reedspoke: decides, beside each submitter, which worker gets which job and when."""
