Feature: A request that ends whatever runs it

  Scenario: A request that ends every engine
    # Symptom: engines of all data centres end one after the other, and the
    # answers beside them are cut; a fifth of the callers is served on time.
    # Sequence: an engine ends as it begins to run a request; the host repeats
    # it at another one, which ends too; the same request comes again under
    # another id, at another host, which knows nothing of it. Cause: attempts
    # are counted for an id at a host, and nobody remembers the request.
    # Proof: at each end the logs have one request of the same fingerprint at
    # that engine, which had brought nothing yet.
    Given 8 hosts in three data centres
    When a request that ends engines comes every 0.6 s at any host for 30 s
    Then it reached engines at most 3 times more than 3 s after the third end
