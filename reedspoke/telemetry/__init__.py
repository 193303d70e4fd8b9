"""What the fleet's programs tell of themselves: figures and invariants. It imports no other package."""
