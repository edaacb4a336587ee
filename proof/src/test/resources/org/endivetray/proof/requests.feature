Feature: Every request gets a complete response or a correct refusal

  Scenario Outline: A repeatable request is answered although one minion is faulty
    Given worker "kochi-w00" has the minion fault <fault>
    When 12 GET requests are sent to "charts" through "e1"
    Then all are "answered" with status 200 and their own complete response

    Examples:
      | fault    |
      | STALL    |
      | FAIL     |
      | TRUNCATE |
      | CROSS    |
      | TRAIL    |
      | REFUSE   |
      | DROP     |

  Scenario Outline: The caller gets the correct outcome when all minions are faulty
    Given all workers have the minion fault <fault>
    When a <method> request with key "<key>" is sent to "charts" through "e1"
    Then the outcome is "<outcome>" with code <code>
    And the request ran at most <runs> times

    Examples:
      | fault    | method | key | outcome  | code | runs |
      | REFUSE   | GET    |     | notRun   | 1010 | 0    |
      | REFUSE   | POST   | a-1 | notRun   | 1010 | 0    |
      | STALL    | POST   | a-2 | unknown  | 1102 | 1    |
      | DROP     | POST   | a-3 | unknown  | 1101 | 1    |
      | TRUNCATE | POST   | a-4 | unknown  | 1103 | 1    |
      | CROSS    | POST   | a-5 | unknown  | 1103 | 1    |
      | FAIL     | POST   | a-6 | answered | 1000 | 1    |
      | TRAIL    | POST   | a-7 | answered | 1000 | 1    |
      | DROP     | POST   |     | unknown  | 1101 | 1    |
      | DROP     | GET    |     | unknown  | 1101 | 4    |

  Scenario Outline: A request with an idempotency key runs at most once during faults
    Given the store has the fault <store>
    And all workers have the minion fault <first>
    When a POST request with key "<key>" is sent to "charts" through "e1"
    Then the outcome is "<outcome>" with code <code>
    Given the store has the fault NONE
    And all workers have the minion fault NONE
    When a POST request with key "<key>" is sent to "charts" through "e2"
    Then the outcome is "<retry outcome>" with code <retry code>
    And the request ran at most 1 times

    Examples:
      | store        | first  | key | outcome  | code | retry outcome | retry code |
      | NONE         | NONE   | b-1 | answered | 1000 | answered      | 1000       |
      | LOSE_ANSWERS | NONE   | b-2 | answered | 1000 | answered      | 1000       |
      | SLOW         | NONE   | b-3 | answered | 1000 | answered      | 1000       |
      | DOWN         | NONE   | b-4 | notRun   | 1012 | answered      | 1000       |
      | NONE         | REFUSE | b-5 | notRun   | 1010 | answered      | 1000       |
      | NONE         | DROP   | b-6 | unknown  | 1101 | unknown       | 1104       |
      | NONE         | STALL  | b-7 | unknown  | 1102 | unknown       | 1104       |

  Scenario: Repeatable requests are answered while the store is down
    Given the store has the fault DOWN
    When 12 GET requests are sent to "charts" through "e1"
    Then all are "answered" with status 200 and their own complete response

  Scenario: Concurrent requests with the same key through all daemons run once and get the same response
    When 6 POST requests with key "c-1" are sent to "charts" through all daemons concurrently
    Then all are "answered" with status 200 and the same response
    And the request ran at most 1 times

  Scenario: A daemon that is killed between claim and answer leaves the outcome unknown
    Given all workers have the minion fault STALL
    When a POST request with key "d-1" is sent to "charts" through "e3", which is killed
    And all workers have the minion fault NONE
    And a POST request with key "d-1" is sent to "charts" through "e1"
    Then the outcome is "unknown" with code 1104
    And the request ran at most 1 times

  Scenario Outline: Invalid input gets an error code
    When "<method> <uri>" is sent with member "<member>", deadline "<deadline>" and <bytes> bytes
    Then the outcome is "notRun" with code <code>

    Examples:
      | method | uri         | member   | deadline | bytes   | code |
      | GET    | /nothing    | polestar |          | 0       | 1001 |
      | GET    | /s/         | polestar |          | 0       | 1001 |
      | GET    | /s/unknown/ | polestar |          | 0       | 1003 |
      | GET    | /s/charts/x | nobody   |          | 0       | 1004 |
      | GET    | /s/charts/x | polestar | soon     | 0       | 1001 |
      | GET    | /s/charts/x | polestar | -5       | 0       | 1001 |
      | POST   | /s/charts/x | polestar |          | 1100000 | 1002 |
