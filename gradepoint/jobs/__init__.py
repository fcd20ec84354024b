"""Batch jobs, stored in the key-value service: accept, run, read and end them.

Any host accepts a job and answers calls about it. One host, the owner, runs its items and commits
their results. If the owner is lost or stops, another host adopts the job.
"""
