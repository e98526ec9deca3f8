"""Router for language-model pipelines over mixed accelerators.

Read ``docs/ARCHITECTURE.md`` first; then `egretspur.errors`, the closed list of
error kinds, and `egretspur.intents.records`, the records from which every
process computes its state.
"""
