"""The data plane: accepts client requests, selects workers with the decision module and forwards them."""
