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

  Scenario: An engine ends after it has brought a part of the answer
    Given 8 hosts in three data centres
    And engines that bring an event before they end
    When a request that ends engines comes every 0.6 s at any host for 30 s
    Then it reached engines at most 3 times more than 3 s after the third end

  Scenario: Requests beside it
    # Symptom: callers whose answers were cut again and again are refused as
    # if they had ended the engines.
    Given 8 hosts in three data centres
    When 20 other requests a second come beside a request that ends engines
    Then only that one is in quarantine, at every host
    And none of the others was refused as in quarantine

  Scenario: A host that starts after it
    Given 8 hosts in three data centres
    When a request that ends engines comes every 0.6 s at any host for 6 s
    And each host is started anew, one a second
    And it comes every 0.6 s at any host for 6 s
    Then no engine was reached since the first restart

  Scenario: All hosts lose power at once
    # Sequence: each host knows of the request, and none of them is left.
    Given 8 hosts in three data centres
    When a request that ends engines comes every 0.6 s at any host for 6 s
    And all hosts are started anew at once
    And it comes every 0.6 s at any host for 6 s
    Then no engine was reached since the first restart

  Scenario: A data centre that is cut off from the others
    # Sequence: hosts of two data centres don't hear the third one, which
    # serves its callers and has the store.
    Given 8 hosts in three data centres
    And the hosts of "pg-hall" and those of the others don't hear each other
    When a request that ends engines comes every 0.6 s at any host for 30 s
    Then it reached engines at most 3 times more than 3 s after the third end

  Scenario: Many hosts, of whose datagrams a fifth are lost
    Given 60 hosts in three data centres
    And a fifth of the datagrams between hosts are lost
    When a request that ends engines comes every 0.3 s at any host for 12 s
    Then it reached engines at most 3 times more than 3 s after the third end
    And only that one is in quarantine, at every host

  Scenario: A request that waits when it is put into quarantine
    Given 2 hosts in three data centres
    And a request that ended two engines waits at each host for room
    When a third engine ends under it at another host
    Then those that wait are refused at once, as not run

  Scenario: A running request whose stage ended under it
    # Sequence: the second engine of its path ends; it is moved to another one,
    # which begins to run it, and ends as well.
    Given 1 hosts in three data centres
    When a request runs and 3 of its stages end, one after the other
    Then it is not moved after the third

  Scenario: An engine that lives
    # Symptom: requests are refused where connections break and engines live.
    Given 8 hosts in three data centres
    When a request is cut 9 times by engines that answer probes
    Then it is in no quarantine

  Scenario: A look-up that many callers send, while all replicas end
    # Symptom: a look-up that works for everyone is refused by all hosts.
    # Sequence: each replica ends while it runs that look-up, for reasons of
    # its own. Cause: callers of a workspace send the same path and no body.
    Given 1 hosts in three data centres
    And a look-up that was answered 5 s ago
    When 4 replicas end under it
    Then it is in no quarantine

  Scenario: An operator lets a request go
    Given 8 hosts in three data centres
    When a request that ends engines comes every 0.6 s at any host for 6 s
    And an operator removes it from the store
    Then it is in no quarantine
    And one that comes is sent to an engine

  Scenario: A request in quarantine is answered
    # Sequence: it was under way when it was put there, and ended nothing.
    Given 8 hosts in three data centres
    When a request that ran beside three ends is answered
    Then it is in no quarantine, and the store has let it go

  Scenario: A request in quarantine takes nothing of the retry budget
    Given 1 hosts in three data centres
    And a request that ended two engines elsewhere
    When it ends a third one
    Then it is refused as having run, and no repeat was taken for it

  Scenario: The router of a data centre repeats a prompt that ends engines
    # Sequence: six attempts are allowed, and each ends an engine before the
    # list tells of the one before it.
    Given a router before 8 engines
    When a prompt comes 4 times that ends each engine it is sent to
    Then it reached 3 engines, and the last was refused as not run
    When the list shows other starts of those engines
    Then its router tells others of 3 ends
    And another router that hears of them does not send it

  Scenario: Connections to engines that live break at a router
    Given a router before 8 engines
    When a prompt comes whose connections break 3 times
    And the list shows the same starts for 6 s
    Then it is sent again

  Scenario: A call to a plain service that ends its replicas
    Given a router before 8 engines and a plain service
    When a call ends 3 replicas, one after the other
    Then it may not be sent, and other calls may

  Scenario: Hosts of a data centre tell each other which engines ended
    Given two control daemons that exchange entries
    When the router of the first reports 3 ends under a request
    Then the other one tells its router of them
    When the router of the other reports that it was answered
    Then neither tells of any end

  Scenario: A request whose cuts are not explained yet
    # Symptom: a caller is told to stay away for a minute, though its request
    # is sent again two seconds later.
    Given 1 hosts in three data centres
    And a request that ended two engines elsewhere
    When it is cut once by an engine of which nothing is known
    Then another one like it is refused, to come back after 2 s
    And it is sent 2 s later

  Scenario: The store is away when a request is put into quarantine
    Given a request that is to be written to a store which is away
    When it is tried while the store is away, and once more
    Then it is still to be written
    When the store is back
    Then it is written, and nothing is left
