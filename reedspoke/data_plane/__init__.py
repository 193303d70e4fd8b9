"""The data plane: takes clients' requests, chooses workers by the decision module and forwards streams."""
