Feature: A non-idempotent request runs at most once
  A caller marks a request with an Idempotency-Key and may send it again
  through any node.  The ledger counts the runs.

  Background:
    Given a slot with an owner and three entry nodes

  Scenario: A resend through another node gets the first answer
    When the caller sends key A through node e0
    And 1 s pass
    And the caller sends key A through node e1
    And 1 s pass
    Then the ledger ran key A 1 times
    And the last answer for key A is the ledger's first answer

  Scenario: A resend waits for a run in progress
    Given the ledger answers after 2 s
    When the caller sends key A through node e0
    And 0.5 s pass
    And the caller sends key A through node e1
    And 4 s pass
    Then the ledger ran key A 1 times
    And 2 answers for key A are the ledger's first answer

  Scenario: The entry node dies after it has dispatched
    Given the ledger answers after 2 s
    When the caller sends key A through node e0
    And 0.5 s pass
    And node e0 dies
    And the caller sends key A through node e1
    And 2 s pass
    Then the ledger ran key A 1 times
    And the last answer for key A is may_have_run with ran unknown

  Scenario: The owner dies after the run
    When the caller sends key A through node e0
    And 2 s pass
    And the owner dies
    And a new owner takes over
    And the caller sends key A through node e1
    And 1 s pass
    Then the ledger ran key A 1 times
    And the last answer for key A is may_have_run with ran yes

  Scenario: A frozen owner wakes after its successor has taken over
    When the owner freezes for 5 s
    And the caller sends key A through node e0
    And 0.1 s pass
    And a new owner takes over
    And the caller sends key A through node e1
    And 8 s pass
    Then the ledger ran key A 1 times

  Scenario: A frozen entry node wakes after the deadline
    When the caller sends key A through node e0
    And node e0 freezes before it dispatches, for 12 s
    And 14 s pass
    Then the ledger ran key A 0 times
    And the last answer for key A is deadline_exceeded with ran no
    When the caller sends key A through node e1
    And 1 s pass
    Then the ledger ran key A 1 times

  Scenario: The service is down
    When the service goes down for 6 s
    And the caller sends key A through node e0
    And 1.5 s pass
    Then the ledger ran key A 0 times
    And the last answer for key A is platform_unavailable with ran no
    When 10 s pass
    And the caller sends key A through node e1
    And 1 s pass
    Then the ledger ran key A 1 times

  Scenario: The service is down for longer than the lease
    When the lease ends
    And the service goes down for 6 s
    And the caller sends key A through node e0
    And 1.5 s pass
    Then the last answer for key A is platform_unavailable with ran unknown

  Scenario: An answer of the service is lost after the write
    Given the service's next answer is lost
    When the caller sends key A through node e0
    And 2 s pass
    Then the ledger ran key A 1 times
    And the last answer for key A is the ledger's first answer

  Scenario: A write arrives after its owner has been replaced
    Given the service takes up the next write 3 s late
    When the caller sends key A through node e0
    And 0.1 s pass
    And a new owner takes over
    And the caller sends key A through node e1
    And 8 s pass
    Then the ledger ran key A 1 times

  Scenario: An owner hands its slot over
    When the caller sends key A through node e0
    And 1 s pass
    And the owner drains
    And a new owner takes over
    And the caller sends key A through node e1
    And 1 s pass
    Then the ledger ran key A 1 times
    And the last answer for key A is may_have_run with ran yes

  Scenario: The ledger says that it did not start the request
    Given the ledger refuses the next request
    When the caller sends key A through node e0
    And 1 s pass
    Then the last answer for key A is backend_failed with ran no
    When the caller sends key A through node e1
    And 1 s pass
    Then the ledger ran key A 1 times

  Scenario: A key is used again with another body
    When the caller sends key A through node e0
    And 1 s pass
    And the caller sends key A with another body through node e1
    And 1 s pass
    Then the ledger ran key A 1 times
    And the last answer for key A is key_reused with ran no

  Scenario: A key comes back after its retention
    When the caller sends key A through node e0
    And 25 s pass
    And the caller sends key A through node e1
    And 1 s pass
    Then the ledger ran key A 1 times
    And the last answer for key A is key_expired with ran unknown
