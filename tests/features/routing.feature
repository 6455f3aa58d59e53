Feature: Routing of generations under load and failure

  Scenario Outline: Lagging load reports draw no herd
    Given 8 nodes before 6 engines that report every 2 s, seed <seed>
    When calls arrive at 25 a second for 60 s
    Then no engine holds more than 1.5 times the mean

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |

  Scenario: Three times the capacity is offered
    Given a load of 3 times the capacity, seed 4
    When it lasts for 120 s
    Then at least 95% of the urgent calls are in time
    And useful work is at least 90% of that at capacity
    And sends stay under 1.2 times the first sends

  Scenario: Lower classes wait behind urgent calls
    Given a node whose engine runs one call at a time
    When all classes wait without pause for 400 sends
    Then each class gets at least its share

  Scenario: A server that is leaving gets no new work
    Given a node that sends 10 calls a second to 3 engines
    When engine e1 is known to leave at 5 s
    Then e1 is sent nothing from 5 s on and the others everything

  Scenario: A connection goes silent in the middle of a stream
    Given a stream of 6 tokens of which 3 have come
    When its connection is silent for 2 s
    Then a new connection resumes at offset 3
    And late bytes of the silent connection change nothing
    And the caller gets the whole answer once

  Scenario: A caller reads slowly
    Given a stream of 2000 tokens
    When the caller takes nothing
    Then the engine's connection is paused within 64 KiB
    And the stream is cancelled after 30 s

  Scenario: A caller reads slowly and recovers
    Given a stream of 2000 tokens
    When the caller takes nothing
    And the caller takes all that waits after 10 s
    Then the engine's connection is read again

  Scenario: A caller leaves while its call waits
    Given a node whose engine runs one call at a time
    And a call that runs and two that wait
    When the caller of the first that waits leaves
    Then the second is sent when the engine is free

  Scenario: A caller leaves in the middle of a stream
    Given a stream of 6 tokens of which 3 have come
    When its caller leaves
    Then the stream is cancelled at its engine once

  Scenario Outline: One request crashes every server that runs it
    Given 8 nodes, 6 engines, 400 harmless calls and a killer, seed <seed>
    When the killer is sent again through any node every 0.5 s
    Then at most 3 servers go down
    And every harmless call is answered

    Examples:
      | seed |
      | 21   |
      | 22   |
      | 23   |
