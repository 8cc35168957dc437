"""What the cases of the review share: processes, stand-ins, clients and the record of a run."""
