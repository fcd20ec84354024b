"""The spool: batch jobs accepted while the key-value service does not answer.

Data hosts keep these jobs on their disks until the jobs are entered, that is, created in the
key-value service.
"""
