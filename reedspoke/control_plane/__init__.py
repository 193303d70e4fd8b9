"""The control plane: holds the configuration on a chain of core machines and delivers it with the worker list."""
